"""Tells other routers of replicas that drain, or that send nothing.

The listing may show late that a replica drains, above all while the store is
unavailable, and never that it is silent.
"""

from __future__ import annotations

from agatedock.decisions import silence
from agatedock.domain import replicas
from agatedock.peers import messages
from agatedock.peers import run_exchange
from agatedock.serving import silences
from agatedock.views import directory

# How long other replicas are preferred to one that drains, and a run that a
# peer named is ignored if it is named again.
DRAINING_AVOIDED_S = 5.0
DRAINING_REMEMBERED_S = 60.0
# The same of a silent one, which may answer again at any moment.
SILENT_REMEMBERED_S = 2 * silence.AVOIDED_S


def make_draining_news(
    replica_directory: directory.Directory,
) -> run_exchange.News:
    """Returns the news of replicas whose response says that they drain."""

    def take_told() -> list[replicas.Replica]:
        told, replica_directory.told_draining = (
            replica_directory.told_draining,
            [],
        )
        return told

    return run_exchange.News(
        messages.DrainingRuns,
        "replica_draining_heard",
        DRAINING_AVOIDED_S,
        DRAINING_REMEMBERED_S,
        take_told,
    )


def make_silence_news(watched: silences.Silences) -> run_exchange.News:
    """Returns the news of replicas that send nothing."""

    def take_told() -> list[replicas.Replica]:
        told, watched.told = watched.told, []
        return told

    return run_exchange.News(
        messages.SilentRuns,
        "replica_silent_heard",
        silence.AVOIDED_S,
        SILENT_REMEMBERED_S,
        take_told,
    )
