"""Plain-text tables."""


def render(titles: list[str], rows: list[list[object]]) -> str:
    """Return a table with left-aligned columns, one row a line."""
    text_rows = [titles, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*text_rows, strict=True)]
    return "\n".join(_render_row(cells, widths) for cells in text_rows)


def _render_row(cells: list[str], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()
