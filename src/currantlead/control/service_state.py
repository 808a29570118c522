"""Effective service state of failure domains, VMs and endpoint instances."""

from collections.abc import Collection

from currantlead.control import model

_STATES_BY_RESTRICTION = (model.ServiceState.IN_SERVICE, model.ServiceState.LEAVING, model.ServiceState.OUT)


def domain_state(configuration: model.Configuration, domain: str) -> model.ServiceState:
    """Return the state of a failure domain, which is in service if the configuration does not list it."""
    configured = configuration.domains.get(domain)
    return configured.state if configured is not None else model.ServiceState.IN_SERVICE


def vm_state(
    configuration: model.Configuration, vm: str, domain: str, *, leaving: Collection[str] = ()
) -> model.ServiceState:
    """Return the effective state of a VM.

    Args:
        configuration: The newest configuration.
        vm: Name of the VM.
        domain: Name of its failure domain.
        leaving: VMs that announced a drain in the platform's list or in heartbeats.

    Returns:
        The most restrictive of the states from the VM's configuration entry, its domain and its announcement.
    """
    announced = model.ServiceState.LEAVING if vm in leaving else model.ServiceState.IN_SERVICE
    own_state = configuration.vms.get(vm, model.ServiceState.IN_SERVICE)
    return _most_restrictive(own_state, domain_state(configuration, domain), announced)


def instance_state(configuration: model.Configuration, instance: model.Instance) -> model.ServiceState:
    """Return the effective state of an endpoint instance.

    Args:
        configuration: The newest configuration.
        instance: The instance.

    Returns:
        The most restrictive of the states from its configuration entry, its domain and the platform's announcement.
    """
    announced = model.ServiceState.LEAVING if instance.leaving else model.ServiceState.IN_SERVICE
    own_state = configuration.instances.get(instance.name, model.ServiceState.IN_SERVICE)
    return _most_restrictive(own_state, domain_state(configuration, instance.domain), announced)


def accepts_new_work(state: model.ServiceState) -> bool:
    """Return whether a state admits new work; open transactions may finish in every state."""
    return state is model.ServiceState.IN_SERVICE


def _most_restrictive(*states: model.ServiceState) -> model.ServiceState:
    return max(states, key=_STATES_BY_RESTRICTION.index)
