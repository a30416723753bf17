"""Plots a day's figures: outcomes, first-event times, requests per replica, marked events."""

from __future__ import annotations

from typing import Any

from winchfork.cli.day_figures import GROUPS, DayFigures

_COLORS = {"served": "tab:green", "refused": "tab:orange", "failed": "tab:red"}
_OTHER_COLOR = "tab:gray"
#: Replicas with a line of their own; the others share one.
MAX_NAMED_REPLICAS = 8
_PANEL_INCHES = 2.4
_WIDTH_INCHES = 13.0
_DOTS_PER_INCH = 90


def draw_day(day: DayFigures, path: str, title: str) -> None:
    """Write the plot to ``path``, whose suffix selects the image format.

    Raises OSError if the file cannot be written, ValueError if the format is not supported.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    marks = sorted({mark.event for mark in day.marks})
    heights = [1.2, 1.0, 1.2, 0.3 + 0.14 * (len(marks) + 1)]
    size = (_WIDTH_INCHES, _PANEL_INCHES * sum(heights))
    figure, panels = pyplot.subplots(
        4, 1, figsize=size, sharex=True, gridspec_kw={"height_ratios": heights}
    )
    _draw_outcomes(panels[0], day)
    _draw_first_events(panels[1], day)
    _draw_replicas(panels[2], day)
    _draw_marks(panels[3], day, marks)
    panels[3].set_xlabel("seconds since the first line")
    figure.suptitle(title)
    figure.tight_layout()
    figure.savefig(path, dpi=_DOTS_PER_INCH)
    pyplot.close(figure)


def _draw_outcomes(panel: Any, day: DayFigures) -> None:
    seconds = range(day.seconds)
    below = [0] * day.seconds
    for group in GROUPS:
        counts = [day.outcomes[group][second] for second in seconds]
        color = _COLORS.get(group, _OTHER_COLOR)
        panel.bar(seconds, counts, 1.0, bottom=below, align="edge", label=group, color=color)
        below = [low + count for low, count in zip(below, counts, strict=True)]
    panel.set_ylabel("requests finished")
    panel.legend(loc="upper right", fontsize="small")


def _draw_first_events(panel: Any, day: DayFigures) -> None:
    for share, label in ((0.5, "median"), (0.95, "95th percentile")):
        points = [(second, day.first_event_at(second, share)) for second in range(day.seconds)]
        drawn = [(second + 0.5, wait_s) for second, wait_s in points if wait_s is not None]
        panel.plot(*zip(*drawn, strict=True) if drawn else ([], []), label=label)
    panel.set_ylabel("first event, s")
    panel.set_ylim(bottom=0.0)
    panel.legend(loc="upper right", fontsize="small")


def _draw_replicas(panel: Any, day: DayFigures) -> None:
    named = day.busiest(MAX_NAMED_REPLICAS)
    seconds = range(day.seconds)
    for replica in named:
        panel.plot(seconds, [day.sent[replica][second] for second in seconds], label=replica)
    others = [replica for replica in day.sent if replica not in named]
    if others:
        counts = [sum(day.sent[replica][second] for replica in others) for second in seconds]
        panel.plot(seconds, counts, label=f"{len(others)} others", color=_OTHER_COLOR)
    panel.set_ylabel("requests sent")
    panel.legend(loc="upper right", fontsize="x-small", ncol=3)


def _draw_marks(panel: Any, day: DayFigures, events: list[str]) -> None:
    """Draw one row per event name, and one for periods in which the store was unreachable."""
    for period in day.store_unreachable:
        until_s = day.seconds if period.until_s is None else period.until_s
        panel.barh(0, until_s - period.from_s, 0.8, period.from_s, color="tab:red", alpha=0.3)
    for row, event in enumerate(events, start=1):
        at = [mark.second for mark in day.marks if mark.event == event]
        panel.plot(at, [row] * len(at), "|", markersize=9)
    panel.set_yticks(range(len(events) + 1), ["store unreachable", *events], fontsize="small")
    panel.set_ylim(-0.6, len(events) + 0.6)
    panel.set_xlim(0, day.seconds)
