"""Model calls over real sockets: admission, streams, refusals."""

import json

CHAT = '/v1/chat/completions'


def chat(**fields):
    return {
        'model': 'oak@1',
        'messages': [{'role': 'user', 'content': 'Survey of the wood'}],
        'max_tokens': 5,
    } | fields


async def test_answers_whole_and_streamed(site):
    async with site() as one:
        whole = await one.client.post(
            CHAT, json=chat(), headers=one.front.headers()
        )
        assert whole.status_code == 200, whole.text
        assert whole.json()['choices'][0]['message']['content'] == (
            ' t1 t2 t3 t4 t5'
        )
        streamed = await one.client.post(
            CHAT, json=chat(stream=True), headers=one.front.headers()
        )
        stream = one.front.engines[0].work.find(
            json.loads(streamed.text.split('data: ')[1].split('\n')[0])['id']
        )
        sent = [e for e in stream.events if b'"usage"' not in e]
        assert streamed.content == b''.join(sent)
        assert [r.used for r in one.front.reservations] == [9, 9]
