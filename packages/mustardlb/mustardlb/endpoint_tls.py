"""TLS verification of the platform's HTTP services."""

import ssl


def httpx_verify(url: str, authority: str) -> ssl.SSLContext | bool:
    """Return the `verify` argument of an httpx client for a service.

    `authority` is a file of CA certificates, '' for those of the system.
    Returns False for an 'http' URL, because loading the system's
    certificates is slow.

    >>> httpx_verify('http://10.0.0.9:8000', '')
    False
    """
    if not url.startswith('https:'):
        return False
    return ssl.create_default_context(cafile=authority or None)
