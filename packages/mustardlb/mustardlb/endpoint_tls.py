"""How the platform's HTTP services are told from others."""

import ssl


def httpx_verify(url: str, authority: str) -> ssl.SSLContext | bool:
    """Return what httpx checks a service's certificate against.

    `authority` is a file of certificates, '' for the system's. A plain
    'http' URL needs none, and reading the system's takes time.

    >>> httpx_verify('http://10.0.0.9:8000', '')
    False
    """
    if not url.startswith('https:'):
        return False
    return ssl.create_default_context(cafile=authority or None)
