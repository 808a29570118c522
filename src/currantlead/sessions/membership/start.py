"""Pace at which a starting VM tries the other VMs."""

from currantlead import logs, timers
from currantlead.peers import network
from currantlead.sessions import clock
from currantlead.sessions.decisions import start_pacing
from currantlead.sessions.membership import liveness

_log = logs.part("daemon")


class PeerPacing:
    """Tries unresponsive VMs more often while this VM starts, because they may be starting, too.

    Args:
        phase: The start phase.
        peers: Streams to the other VMs.
        peer_liveness: Which VMs respond.
        timer_service: Ends the start phase.
    """

    def __init__(
        self,
        phase: start_pacing.StartPhase,
        peers: network.Network,
        peer_liveness: liveness.Liveness,
        timer_service: timers.TimerService,
    ):
        self._phase = phase
        self._peers = peers
        self._liveness = peer_liveness
        self._timers = timer_service

    def apply(self) -> None:
        """Set the pace for the start phase, or the usual one after it."""
        is_active = self._phase.is_active(clock.now())
        self._peers.max_backoff_s = self._liveness.ping_interval_s = start_pacing.PEER_RETRY_S if is_active else None
        if is_active:
            self._timers.call_after("end of start phase", start_pacing.START_PHASE_S, self.apply)
        else:
            _log.bind(refused=self._phase.refused).info("start phase ended")
