"""Gauges of a VM's state, of the age of its configuration, and of the parts that are on."""

import functools
from typing import TYPE_CHECKING

from currantlead.sessions import clock
from currantlead.sessions.instances import connections

if TYPE_CHECKING:
    from currantlead.sessions import daemon as session_daemon


def register(daemon: "session_daemon.Daemon") -> None:
    """Register the gauges of a daemon with its metrics."""
    no_labels = ()
    daemon.metrics.register_gauge("ready", lambda: {no_labels: float(daemon.is_ready())})
    daemon.metrics.register_gauge("sessions", lambda: {no_labels: float(len(daemon.sessions))})
    daemon.metrics.register_gauge("members", lambda: {no_labels: float(daemon.members.count)})
    daemon.metrics.register_gauge("relayed", lambda: {no_labels: float(daemon.mirror.uses_relay)})
    daemon.metrics.register_gauge("configuration_version", lambda: {no_labels: float(daemon.configuration.version)})
    daemon.metrics.register_gauge(
        "configuration_age_seconds", lambda: {no_labels: daemon.configuration_age.age_s(clock.now())}
    )
    daemon.metrics.register_gauge(
        "copy_age_seconds", lambda: {(("kind", kind),): age_s for kind, age_s in daemon.mirror.copy_ages().items()}
    )
    daemon.metrics.register_gauge("open_orders", lambda: {no_labels: float(daemon.fleet.count_open_orders())})
    if daemon.start_phase is not None:
        daemon.metrics.register_gauge(
            "start_phase", lambda: {no_labels: float(daemon.start_phase.is_active(clock.now()))}
        )
        daemon.metrics.register_gauge("start_refusals", lambda: {no_labels: float(daemon.start_phase.refused)})
    if daemon.overloads is not None:
        daemon.metrics.register_gauge("capacity", lambda: {no_labels: daemon.members.own.capacity or 0.0})
        daemon.metrics.register_gauge("overload_level", lambda: {no_labels: float(daemon.overloads.own_level())})
        daemon.metrics.register_gauge("event_loop_lag_seconds", lambda: {no_labels: daemon.overloads.lag_s})
    if daemon.answer_health is not None:
        daemon.metrics.register_gauge("ejected", daemon.answer_health.read_gauge)
    for attribute in connections.POOL_METRICS:
        daemon.metrics.register_gauge(f"pool_{attribute}", functools.partial(daemon.connections.read_metric, attribute))
    if daemon.settings.load_management.fair_queue or daemon.settings.load_management.concurrency_limit:
        daemon.metrics.register_gauge("pool_queue", daemon.connections.read_queue_lengths)
        for attribute in connections.SCHEDULING_METRICS:
            read = functools.partial(daemon.connections.read_metric, attribute)
            daemon.metrics.register_gauge(f"pool_{attribute}", read)
