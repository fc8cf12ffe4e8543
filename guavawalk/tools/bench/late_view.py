"""The view of an entry that has nothing but late load reports, for the naive baselines."""

from collections import deque

import anyio
from anyio.abc import TaskStatus

from guavawalk.process.entry.cached import create_cache_view
from guavawalk.process.entry.lengths import create_length_estimator
from guavawalk.process.entry.view import FleetView
from guavawalk.process.sidecar.state import load_report
from guavawalk.request.types import LoadReport
from guavawalk.tools.fleet import Fleet

__all__ = ["LateView", "feed_late_reports"]

REPORT_EVERY_S = 0.25

Reports = dict[str, LoadReport]


class LateView(FleetView):
    """A view that takes no load from the replies of sidecars."""

    def record_load(self, name: str, load: LoadReport) -> None:
        """Drop a reply's report."""

    def record_late_load(self, name: str, load: LoadReport) -> None:
        """Take a report that was on its way for a while."""
        super().record_load(name, load)


async def feed_late_reports(
    fleet: Fleet, late_s: float, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Give the entries late views and feed them every target's report, `late_s` old."""
    views = [_replace_view(fleet, centre) for centre in fleet.plan.entries]
    task_status.started()
    under_way: deque[Reports] = deque()
    while True:
        under_way.append({t.name: load_report(fleet.sidecar(t.name)) for t in fleet.plan.targets})
        if len(under_way) * REPORT_EVERY_S > late_s:
            arrived = under_way.popleft()
            for view in views:
                _deliver(view, arrived)
        await anyio.sleep(REPORT_EVERY_S)


def _deliver(view: LateView, reports: Reports) -> None:
    for name, load in reports.items():
        view.record_late_load(name, load)


def _replace_view(fleet: Fleet, centre: str) -> LateView:
    node = f"entry-{centre}"
    process = fleet.processes[node]
    view = LateView(process.entry.clock, create_cache_view(), create_length_estimator())
    fleet.processes[node] = process._replace(entry=process.entry._replace(view=view))
    return view
