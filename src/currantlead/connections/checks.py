"""Checks that a holder makes again for each statement, in the same step as the use."""

from currantlead import interfaces, messages, verdict
from currantlead.control import model

# While a primary leaves, its writes continue until the planned change, but not beyond the 3 s that P12 allows.
LEAVING_WRITES_S = 2.0


def refuse(reason: verdict.Reason, detail: str, retry_after_s: float | None = None) -> verdict.Refusal:
    """Return a refusal of something that was not sent."""
    return verdict.Refusal(reason, verdict.Verdict.NOT_RUN, detail, retry_after_s)


class Checks:
    """Compare a request with the shared state that this VM knows."""

    def __init__(self, directory: interfaces.Directory, membership: interfaces.Membership):
        self._directory = directory
        self._membership = membership

    def service(self, database: str) -> model.Service | None:
        """Return the service of a database."""
        configuration = self._directory.configuration
        found = configuration.databases.get(database)
        return configuration.services.get(found.service) if found else None

    def check_caller(self, caller: messages.Caller, database: str, route_sql: str | None) -> verdict.Refusal | None:
        """Check the key digest and the grant.

        Args:
            caller: On whose behalf the request runs.
            database: Name of the database.
            route_sql: The statement if it may be one of an open route, else None.
        """
        configuration = self._directory.configuration
        service = self.service(database)
        if service is None:
            return refuse(verdict.Reason.UNKNOWN_DATABASE, f"there is no database {database}")
        if not caller.organisation:
            routes = configuration.routes.values()
            if route_sql is not None and any(each.database == database and each.sql == route_sql for each in routes):
                return None
            return refuse(verdict.Reason.UNKNOWN_KEY, "the request carries no key")
        organisation = configuration.organisations.get(caller.organisation)
        if organisation is None or caller.key_digest not in organisation.keys.values():
            return refuse(verdict.Reason.UNKNOWN_KEY, "the key is unknown or withdrawn")
        if service.name not in organisation.services:
            return refuse(verdict.Reason.NOT_GRANTED, f"the organisation may not use {service.name}")
        return None

    def check_place(self, database: str, instance: str, term: int, *, primary: bool) -> verdict.Refusal | None:
        """Check that this VM holds the instance, and the term and role of the instance."""
        group = self._directory.groups.get(database)
        found = group.instance(instance) if group else None
        if group is None or found is None:
            return refuse(verdict.Reason.NOT_HOLDER, f"{instance} is no instance of {database}", 0.1)
        if term != group.term:
            return refuse(verdict.Reason.STALE_TERM, f"the term is {group.term}, not {term}", 0.2)
        if primary and (group.phase is not model.Phase.STABLE or not group.primary):
            return refuse(verdict.Reason.NO_PRIMARY, f"{database} has no primary in term {term}", 0.5)
        if primary and group.primary != instance:
            return refuse(verdict.Reason.NOT_PRIMARY, f"{instance} is not the primary of {database}", 0.1)
        if group.phase is model.Phase.ELECTING and group.primary == instance:
            # It may show records that no replica has received and that the election discards.
            return refuse(verdict.Reason.NO_PRIMARY, f"{instance} is being replaced in term {term}", 0.5)
        if self._membership.connection_share(instance, found.domain) <= 0:
            return refuse(verdict.Reason.NOT_HOLDER, "this VM does not hold the instance", 0.1)
        return None

    def check_transaction(self, caller: messages.Caller, database: str, term: int) -> verdict.Refusal | None:
        """Check the lease, the term and the key before a statement of an open transaction."""
        if not self._membership.lease_valid():
            return refuse(verdict.Reason.NOT_HOLDER, "this VM has no lease", 0.5)
        group = self._directory.groups.get(database)
        if group is None or group.term != term:
            return refuse(verdict.Reason.STALE_TERM, f"the transaction began in term {term}, which is over")
        return self.check_caller(caller, database, None)

    def check_position(self, database: str, after: messages.Position | None) -> verdict.Refusal | None:
        """Check that the session's position is not beyond what the group has kept."""
        group = self._directory.groups.get(database)
        if after is None or group is None:
            return None
        if after.term > group.term:
            return refuse(verdict.Reason.STALE_TERM, f"the session has seen term {after.term}", 0.2)
        if group.has_discarded(after):
            return refuse(verdict.Reason.LOST_POSITION, "a record that the session has seen is lost")
        return None

    def is_leaving(self, instance: model.Instance) -> bool:
        """Tell whether an instance, or its failure domain, takes no new work."""
        configuration = self._directory.configuration
        domain = configuration.domains.get(instance.domain)
        return (
            instance.leaving
            or configuration.instances.get(instance.name, model.ServiceState.IN_SERVICE)
            is not model.ServiceState.IN_SERVICE
            or (domain is not None and domain.state is not model.ServiceState.IN_SERVICE)
        )
