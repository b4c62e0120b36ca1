"""Wires the copies of the store's objects and what is read from them."""

from collections import abc
import dataclasses

from mustardlb_gateway import _current_config
from mustardlb_gateway import _evacuations
from mustardlb_gateway import _mirror
from mustardlb_gateway import _peer_sync
from mustardlb_gateway import _targets
from mustardlb_gateway import ports
from mustardlb_gateway import settings as gateway_settings


@dataclasses.dataclass(frozen=True, slots=True)
class StateParts:
    """Mirrors of the store's kinds, and the state that they make up.

    :ivar mirrors: configurations and targets first, which a node needs in
        order to be ready
    :ivar evacuations: with a mirror only if the platform has evacuations
    """

    mirrors: list[_mirror.Mirror]
    configurations: _mirror.Mirror
    targets_mirror: _mirror.Mirror
    peer_sync: _peer_sync.PeerSync
    config: _current_config.CurrentConfig
    targets: _targets.TargetTable
    evacuations: _evacuations.Evacuations


def make(
    translation: ports.Translation,
    clock: abc.Callable[[], float],
    settings: abc.Callable[[], gateway_settings.Settings],
) -> StateParts:
    """Return the mirrors and the state that is read from them."""
    configurations = _mirror.Mirror(
        translation.configuration_kind, lambda: settings().configuration_time
    )
    targets_mirror = _mirror.Mirror(
        translation.targets_kind, lambda: settings().drain_time
    )
    versions = _mirror.Mirror(
        translation.versions_kind,
        lambda: (
            settings().version_time * (1 - _current_config.VERSION_GRACE_RATIO)
        ),
    )
    mirrors = [configurations, targets_mirror, versions]
    evacuations_mirror = None
    if settings().evacuation_time is not None:
        evacuations_mirror = _mirror.Mirror(
            translation.evacuations_kind,
            lambda: (
                settings().evacuation_time or _mirror.DEFAULT_FRESHNESS_SECONDS
            ),
        )
        mirrors.append(evacuations_mirror)
    evacuations = _evacuations.Evacuations(
        evacuations_mirror, clock, lambda: settings().evacuation_time
    )
    return StateParts(
        mirrors,
        configurations,
        targets_mirror,
        _peer_sync.PeerSync(mirrors, clock),
        _current_config.CurrentConfig(
            configurations,
            versions,
            translation,
            clock,
            lambda: settings().version_time,
        ),
        _targets.TargetTable(
            targets_mirror,
            translation,
            clock,
            evacuations.is_evacuated,
            lambda: settings().heartbeat_interval,
        ),
        evacuations,
    )
