"""Conversion of the settings file into the arguments of the components."""

import statsd

from mustardlb import http_object_api
from mustardlb import http_vm_list
from mustardlb import settings as settings_module
from mustardlbd import _caller_settings
from mustardlbd import _http_connection
from mustardlbd import _metrics
from mustardlbd import _tls


def make_object_api(
    endpoint: settings_module.Endpoint,
) -> http_object_api.HttpObjectApi:
    """Return a client of the object API."""
    return http_object_api.HttpObjectApi(
        endpoint.url, endpoint.timeout, endpoint.authority
    )


def make_vm_list(
    endpoint: settings_module.Endpoint,
) -> http_vm_list.HttpVmList:
    """Return a client of the VM list."""
    return http_vm_list.HttpVmList(
        endpoint.url, endpoint.timeout, endpoint.authority
    )


def make_metrics(
    settings: settings_module.Statsd | None,
) -> _metrics.Metrics:
    """Return the metrics, which are sent to statsd if it is configured."""
    if settings is None:
        return _metrics.Metrics()
    client = statsd.StatsClient(
        settings.address, settings.port, prefix=settings.prefix
    )
    return _metrics.Metrics(client)


def make_caller_settings(
    settings: settings_module.NodeSettings,
) -> _caller_settings.CallerSettings:
    """Return the settings of the callers' port."""
    limits = settings.limits
    server = _http_connection.ServerSettings(
        address=settings.callers.address,
        port=settings.callers.port,
        max_header_bytes=limits.header_bytes,
        header_timeout=limits.header_time,
        write_timeout=limits.write_time,
        max_connections=limits.connections,
        stop_timeout=settings.drain_time,
        tls=_tls.callers_context(settings.callers.tls),
    )
    return _caller_settings.CallerSettings(
        server=server,
        max_body_bytes=limits.body_bytes,
        body_timeout=limits.body_time,
        response_timeout=limits.response_time,
        read_timeout=limits.idle_time,
        queue_timeout=limits.queue_time,
        token_timeout=limits.token_time,
        max_requests=limits.streams,
        max_queued=limits.queued,
        drain_delay=limits.notice_time,
        default_tokens=limits.default_tokens,
        max_tokens=limits.max_tokens,
        max_choices=limits.max_choices,
    )


def make_admin_settings(
    settings: settings_module.NodeSettings,
) -> _http_connection.ServerSettings:
    """Return the settings of the operators' port."""
    return _http_connection.ServerSettings(
        address=settings.admin.address,
        port=settings.admin.port,
        max_header_bytes=settings.limits.header_bytes,
        tls=_tls.server_context(settings.admin.tls),
    )
