"""Decide whether a domain, VM or endpoint instance is in service, leaving or out."""

from collections.abc import Collection

from currantlead.control import model

_ORDER = (model.ServiceState.IN_SERVICE, model.ServiceState.LEAVING, model.ServiceState.OUT)


def domain_state(configuration: model.Configuration, domain: str) -> model.ServiceState:
    """Return the state of a failure domain; one that the configuration does not list is in service."""
    known = configuration.domains.get(domain)
    return known.state if known is not None else model.ServiceState.IN_SERVICE


def vm_state(
    configuration: model.Configuration, vm: str, domain: str, *, leaving: Collection[str] = ()
) -> model.ServiceState:
    """Return the state of a VM.

    Args:
        configuration: The newest configuration.
        vm: Name of the VM.
        domain: Its failure domain.
        leaving: VMs that announced a drain, by the platform's list or by their heartbeats.

    Returns:
        The most restrictive state of the VM's own entry, its domain and the hints.
    """
    hint = model.ServiceState.LEAVING if vm in leaving else model.ServiceState.IN_SERVICE
    own = configuration.vms.get(vm, model.ServiceState.IN_SERVICE)
    return _strictest(own, domain_state(configuration, domain), hint)


def instance_state(configuration: model.Configuration, instance: model.Instance) -> model.ServiceState:
    """Return the most restrictive state of an instance's own entry, its domain and the platform's announcement."""
    hint = model.ServiceState.LEAVING if instance.leaving else model.ServiceState.IN_SERVICE
    own = configuration.instances.get(instance.name, model.ServiceState.IN_SERVICE)
    return _strictest(own, domain_state(configuration, instance.domain), hint)


def takes_new_work(state: model.ServiceState) -> bool:
    """Tell whether new work may go there; open transactions finish in every state."""
    return state is model.ServiceState.IN_SERVICE


def _strictest(*states: model.ServiceState) -> model.ServiceState:
    return max(states, key=_ORDER.index)
