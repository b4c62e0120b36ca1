import json

import pytest

from mustardlb_platform import _settings

FIELDS = {
    'node': 'front-a-1',
    'zone': 'a',
    'listen': {'front': '10.1.0.25:8221', 'ready': '10.1.0.25:8224'},
    'port_range': [7600, 7615],
    'limits': {'max_fds': 4100},
    'bounds': {
        'grace_s': 8,
        'lease_ms': 3000,
        'fencing': True,
        'version_ms': 5000,
        'retry_budget_ratio': 0.2,
        'budget_slack': 54,
        'budget_window_s': 10,
    },
    'platform': {'address': '10.200.1.7:8225'},
    # Unknown fields are ignored.
    'a_new_field': [1],
}


def read(tmp_path, fields):
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(fields))
    return _settings.read(path)


def test_settings_are_read(tmp_path):
    settings, store = read(tmp_path, FIELDS)
    assert store == ('10.200.1.7', 8225)
    assert (settings.vm, settings.host) == ('front-a-1', '10.1.0.25')
    assert (settings.front_port, settings.ready_port) == (8221, 8224)
    assert settings.peer_port == 7600
    assert settings.handover_time == 3.0
    assert settings.fences_checked
    assert settings.retry_slack == 54


def test_limits_of_cold_targets_and_evacuations_are_read(tmp_path):
    """Guards against parts that a deployment asks for and never get it."""
    settings, _ = read(tmp_path, FIELDS)
    assert settings.evacuation_time is None
    assert (settings.cold_limit_ratio, settings.cold_limit_slack) == (1, 0)
    bounds = {'cold_over': 1.5, 'cold_slack': 5, 'evacuation_ms': 5000}
    limits = {'memory_mb': 200}
    settings, _ = read(tmp_path, FIELDS | {'bounds': bounds, 'limits': limits})
    assert settings.evacuation_time == 5.0
    assert (settings.cold_limit_ratio, settings.cold_limit_slack) == (1.5, 5)
    assert settings.memory_mb == 200


def test_bounds_and_limits_are_optional(tmp_path):
    without_bounds = {
        k: v for k, v in FIELDS.items() if k not in ('bounds', 'limits')
    }
    settings, _ = read(tmp_path, without_bounds)
    assert settings.stop_timeout == 8
    assert not settings.fences_checked


@pytest.mark.parametrize('name', ['node', 'listen', 'platform', 'port_range'])
def test_missing_required_field_is_rejected(tmp_path, name):
    incomplete = {k: v for k, v in FIELDS.items() if k != name}
    with pytest.raises(ValueError, match=name):
        read(tmp_path, incomplete)


def test_invalid_json_is_rejected(tmp_path):
    path = tmp_path / 'node.json'
    path.write_text('{')
    with pytest.raises(ValueError, match='node.json|Expecting'):
        _settings.read(path)


@pytest.mark.parametrize('ports', [[[1]], ['7600'], [0], [65536], [True]])
def test_malformed_port_range_is_rejected(tmp_path, ports):
    with pytest.raises(ValueError, match='port'):
        read(tmp_path, FIELDS | {'port_range': ports})
