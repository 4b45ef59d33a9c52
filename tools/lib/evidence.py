"""Judges a trial by what the stand-in backend servers recorded."""

import collections
import json

ENDS = {"finished", "failed", "stopped", "checkpointed", "lapsed"}


def spans(histories):
    """Intervals in which tasks ran: (worker, task, body, live, mask, start, end)."""
    out = []
    for worker, lines in histories.items():
        open_tasks = {}
        for it in lines:
            if it["what"] == "start":
                open_tasks[it["task"]] = it
            elif it["what"] in ENDS and it["task"] in open_tasks:
                begin = open_tasks.pop(it["task"])
                out.append((worker, it["task"], begin["body"], begin["live"],
                            begin["accelerators"], begin["monotonic_ms"], it["monotonic_ms"]))
        for begin in open_tasks.values():
            out.append((worker, begin["task"], begin["body"], begin["live"],
                        begin["accelerators"], begin["monotonic_ms"], float("inf")))
    return out


def starts_by_client(histories, key="client"):
    """How often the request of each client was started, over all workers. A caller never sends a
    second request under a new id, except after a proven not_run."""
    counts = collections.Counter()
    for lines in histories.values():
        for it in lines:
            if it["what"] == "start" and it["live"]:
                counts[json.loads(it["body"])[key]] += 1
    return counts


def partial_gangs(histories, gang, members):
    """Counts moments at which a member of the gang computed while the accelerators of another one
    were given to other work.

    Tasks of one attempt start and end some milliseconds apart, as messages arrive. What must never
    happen is that a member's accelerators are used by another task while the rest compute."""
    ran = spans(histories)
    mine = [it for it in ran if json.loads(it[2] or "{}").get("gang") == gang]
    others = [it for it in ran if json.loads(it[2] or "{}").get("gang") != gang]
    if not mine:
        return 0
    begin = min(it[5] for it in mine)
    end = max(it[6] for it in mine)
    held = {(it[0], it[4]) for it in mine}
    bad = 0 if len(mine) % members == 0 else 1
    for worker, _, _, _, mask, start, stop in others:
        for other, other_mask in held:
            if worker == other and mask & other_mask and start < end and stop > begin:
                bad += 1
    return bad
