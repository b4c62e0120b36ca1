"""Responses of nodes to the command line that are not HTTP."""

import httpx
import pytest
import scripted

from mustardlb_cli import _site

SETTINGS = """
insecure = true
[object_api]
url = 'http://127.0.0.1:9'
[vm_list]
url = 'http://127.0.0.1:9'
"""


@pytest.mark.parametrize('odd_line', [b' x-odd: 1', b'\nx-odd: 1'])
async def test_odd_head_of_a_node_is_rejected(odd_line, tmp_path):
    """The line was joined to the field before it, or began the body."""

    async def respond(connection, head, body):
        lines = [b'HTTP/1.1 200 OK', b'content-length: 2']
        lines += [b'x-other: 1', odd_line]
        await connection.send(b'\r\n'.join([*lines, b'', b'ok']))

    path = tmp_path / 'cli.toml'
    path.write_text(SETTINGS)
    server = scripted.ScriptedServer(respond)
    async with server.running(), _site.opener(str(path))() as site:
        with pytest.raises(httpx.RemoteProtocolError):
            await site.admin.get(f'http://127.0.0.1:{server.port}/')
