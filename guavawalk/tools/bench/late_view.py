"""An entry's view of targets that knows only delayed load reports, for the baseline policies."""

from collections import deque

import anyio
from anyio.abc import TaskStatus

from guavawalk.process.entry.cached import create_cache_view
from guavawalk.process.entry.lengths import create_length_estimator
from guavawalk.process.entry.view import FleetView
from guavawalk.process.sidecar.state import load_report
from guavawalk.request.types import LoadReport
from guavawalk.tools.fleet import Fleet

__all__ = ["LateView", "record_late_reports"]

# Interval between two load reports of a target.
REPORT_EVERY_S = 0.25

Reports = dict[str, LoadReport]


class LateView(FleetView):
    """A view that ignores the load in the replies of sidecars and uses delayed reports instead."""

    def record_load(self, name: str, load: LoadReport) -> None:
        """Ignore the report of a reply."""

    def record_delayed_load(self, name: str, load: LoadReport) -> None:
        """Record a delayed report."""
        super().record_load(name, load)


async def record_late_reports(
    fleet: Fleet, late_s: float, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Give each entry a `LateView` and record the reports of all targets in it, `late_s` old."""
    views = [_install_late_view(fleet, centre) for centre in fleet.plan.entries]
    task_status.started()
    in_transit: deque[Reports] = deque()
    while True:
        in_transit.append({t.name: load_report(fleet.sidecar(t.name)) for t in fleet.plan.targets})
        if len(in_transit) * REPORT_EVERY_S > late_s:
            arrived = in_transit.popleft()
            for view in views:
                _record_reports(view, arrived)
        await anyio.sleep(REPORT_EVERY_S)


def _record_reports(view: LateView, reports: Reports) -> None:
    for name, load in reports.items():
        view.record_delayed_load(name, load)


def _install_late_view(fleet: Fleet, centre: str) -> LateView:
    node = f"entry-{centre}"
    process = fleet.processes[node]
    view = LateView(process.entry.clock, create_cache_view(), create_length_estimator())
    fleet.processes[node] = process._replace(entry=process.entry._replace(view=view))
    return view
