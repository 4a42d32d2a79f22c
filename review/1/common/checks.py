"""Checks of rules on what the minions have seen."""

import collections


def find_overlaps(record) -> list[str]:
    """Return a line for each two runs of one task that were at work at the same time (TWICE)."""
    open_by_task: dict[str, dict] = collections.defaultdict(dict)
    found = []
    for row in list(record.rows):
        if row["what"] == "start":
            for first in open_by_task[row["task"]].values():
                found.append(
                    f"TWICE: {row['task']} was started on {row['minion']} (run {row['run']}) at"
                    f" {row['t']:.3f} s, while it ran on {first['minion']} (run {first['run']})"
                    f" since {first['t']:.3f} s"
                )
            open_by_task[row["task"]][row["minion"], row["run"]] = row
        elif row["what"] in ("end", "run gone"):
            open_by_task[row["task"]].pop((row["minion"], row["run"]), None)
    for line in found:
        record("violation", line=line)
    return found
