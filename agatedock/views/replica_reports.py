"""What replicas say of their load in their answers, with ages."""

from __future__ import annotations

import collections

from agatedock.decisions import load_reports

# Replicas that are remembered; the least recent are dropped.
REPLICAS_MAX = 5000


class ReplicaReports:
    """Slowness of hosts by replica."""

    def __init__(self) -> None:
        self._slowness: collections.OrderedDict[str, load_reports.Slowness] = (
            collections.OrderedDict()
        )

    def record(
        self, replica_id: str, report: load_reports.LoadReport, now: float
    ) -> None:
        """Records a report; one without a figure of the host says nothing."""
        if report.host_percent is None:
            return
        self._slowness[replica_id] = load_reports.update_slowness(
            self._slowness.get(replica_id), report.host_percent, now
        )
        self._slowness.move_to_end(replica_id)
        while len(self._slowness) > REPLICAS_MAX:
            self._slowness.popitem(last=False)

    def get_slowness(self, replica_id: str, now: float) -> float:
        """Returns how many times as long as usual work takes there."""
        return load_reports.get_slowness(self._slowness.get(replica_id), now)

    def forget(self, replica_id: str) -> None:
        """Removes a replica that has ended or restarted."""
        self._slowness.pop(replica_id, None)

    def list_slowness(self, now: float) -> dict[str, float]:
        """Returns the slowness by replica."""
        return {
            replica_id: load_reports.get_slowness(slowness, now)
            for replica_id, slowness in self._slowness.items()
        }
