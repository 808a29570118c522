"""Checks that a holder repeats right before it runs each statement."""

from currantlead import interfaces, messages, verdict
from currantlead.control import model

# Writes to a draining primary continue until the planned primary change, but within the 3 s that P12 allows.
DRAINING_WRITES_GRACE_S = 2.0


def refuse(reason: verdict.Reason, detail: str, retry_after_s: float | None = None) -> verdict.Refusal:
    """Return a refusal with the verdict ``NOT_RUN``."""
    return verdict.Refusal(reason, verdict.Verdict.NOT_RUN, detail, retry_after_s)


class RequestChecker:
    """Check requests against this VM's copy of the shared state."""

    def __init__(self, directory: interfaces.Directory, membership: interfaces.Membership):
        self._directory = directory
        self._membership = membership

    def service(self, database: str) -> model.Service | None:
        """Return the service of a database, or None if the database is not configured."""
        configuration = self._directory.configuration
        database_record = configuration.databases.get(database)
        return configuration.services.get(database_record.service) if database_record else None

    def check_caller(self, caller: messages.Caller, database: str, route_sql: str | None) -> verdict.Refusal | None:
        """Check the caller's key and its grant.

        Args:
            caller: Organisation and key on whose behalf the request runs.
            database: Name of the database.
            route_sql: Text of a read, which an open route may permit without a key; None for other requests.
        """
        configuration = self._directory.configuration
        service = self.service(database)
        if service is None:
            return refuse(verdict.Reason.UNKNOWN_DATABASE, f"unknown database {database}")
        if not caller.organisation:
            routes = configuration.routes.values()
            if route_sql is not None and any(route.database == database and route.sql == route_sql for route in routes):
                return None
            return refuse(verdict.Reason.UNKNOWN_KEY, "the request has no key")
        organisation = configuration.organisations.get(caller.organisation)
        if organisation is None or caller.key_digest not in organisation.keys.values():
            return refuse(verdict.Reason.UNKNOWN_KEY, "the key is unknown or was withdrawn")
        if service.name not in organisation.services:
            return refuse(verdict.Reason.NOT_GRANTED, f"the organisation is not granted service {service.name}")
        return None

    def check_target(self, database: str, instance: str, term: int, *, primary: bool) -> verdict.Refusal | None:
        """Check the term and role of an instance, and that this VM holds connections to it."""
        group = self._directory.groups.get(database)
        instance_record = group.instance(instance) if group else None
        if group is None or instance_record is None:
            return refuse(verdict.Reason.NOT_HOLDER, f"{instance} is not an instance of {database}", 0.1)
        if term != group.term:
            return refuse(verdict.Reason.STALE_TERM, f"the current term is {group.term}, not {term}", 0.2)
        if primary and (group.phase is not model.Phase.STABLE or not group.primary):
            return refuse(verdict.Reason.NO_PRIMARY, f"{database} has no primary in term {term}", 0.5)
        if primary and group.primary != instance:
            return refuse(verdict.Reason.NOT_PRIMARY, f"{instance} is not the primary of {database}", 0.1)
        if group.phase is model.Phase.ELECTING and group.primary == instance:
            # The old primary may return records that no replica has received and that the election discards.
            return refuse(verdict.Reason.NO_PRIMARY, f"{instance} is being replaced as primary in term {term}", 0.5)
        if self._membership.connection_share(instance, instance_record.domain) <= 0:
            return refuse(verdict.Reason.NOT_HOLDER, "this VM holds no connections to the instance", 0.1)
        return None

    def check_transaction(self, caller: messages.Caller, database: str, term: int) -> verdict.Refusal | None:
        """Check the lease, term and key before a statement of an open transaction."""
        if not self._membership.lease_valid():
            return refuse(verdict.Reason.NOT_HOLDER, "this VM has no valid lease", 0.5)
        group = self._directory.groups.get(database)
        if group is None or group.term != term:
            return refuse(verdict.Reason.STALE_TERM, f"the transaction began in term {term}, which has ended")
        return self.check_caller(caller, database, None)

    def check_position(self, database: str, after: messages.Position | None) -> verdict.Refusal | None:
        """Check that the group still has the records up to the session's position."""
        group = self._directory.groups.get(database)
        if after is None or group is None:
            return None
        if after.term > group.term:
            return refuse(verdict.Reason.STALE_TERM, f"the session has already seen term {after.term}", 0.2)
        if group.has_discarded(after):
            return refuse(verdict.Reason.LOST_POSITION, "records that the session has read or written are lost")
        return None

    def is_leaving(self, instance: model.Instance) -> bool:
        """Return whether an instance or its failure domain is draining or out of service."""
        configuration = self._directory.configuration
        domain = configuration.domains.get(instance.domain)
        return (
            instance.leaving
            or configuration.instances.get(instance.name, model.ServiceState.IN_SERVICE)
            is not model.ServiceState.IN_SERVICE
            or (domain is not None and domain.state is not model.ServiceState.IN_SERVICE)
        )
