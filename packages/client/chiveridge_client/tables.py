"""Plain-text tables."""


def render(titles: list[str], rows: list[list[object]]) -> str:
    """Return a table with left-aligned columns, one row a line."""
    lines = [titles, *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_line(cells, widths) for cells in lines)


def _line(cells: list[str], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()
