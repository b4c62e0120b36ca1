"""Creates TLS contexts from settings."""

import ssl

from mustardlb import settings


def server_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of a listener; an authority enables mutual TLS."""
    if tls is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority:
        context.load_verify_locations(tls.authority)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def peer_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context for connections to peers."""
    if tls is None:
        return None
    context = ssl.create_default_context(cafile=tls.authority)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key)
    return context


def callers_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of the callers' port, which supports HTTP/2."""
    context = server_context(tls)
    if context is not None:
        context.set_alpn_protocols(['h2', 'http/1.1'])
    return context
