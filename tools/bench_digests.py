"""Size of a gateway's digest, and the time to write and read it."""

import time

import fire

from mustardlb_gateway import _centres
from mustardlb_gateway import _messages
from mustardlb_gateway import domain

ROUNDS = 2000


def make_digest(engines: int, adapters: int, accounts: int) -> bytes:
    """Return the bytes of a digest with so many engines in use and kept."""
    names = [domain.AdapterName('base', f'a{n}') for n in range(adapters)]
    digest = _messages.Digest(
        '10.0.0.1',
        7600,
        'centre-a',
        1000.0,
        True,
        False,
        {'config': 7, 'servers': 812, 'versions': 90},
        {f'account{number}': 1e6 + number for number in range(accounts)},
        tuple(
            _messages.TargetUsage(
                f'i-{number:010x}', 3, 4000, tuple(names[:3])
            )
            for number in range(engines)
        ),
        tuple(
            _centres.Holding(
                f'i-{number:010x}', 4, 1, True, dict.fromkeys(names, 1), 2
            )
            for number in range(max(1, engines // 4))
        ),
    )
    return _messages.encode(_messages.Message('vm-1', 1, 1, digest))


def main(adapters: int = 9) -> None:
    """Print bytes and microseconds for growing sites."""
    print('engines accounts bytes read_us write_us')
    for engines, accounts in ((4, 5), (9, 5), (30, 16), (60, 40)):
        data = make_digest(engines, adapters, accounts)
        message = _messages.decode(data)
        began = time.perf_counter()
        for _ in range(ROUNDS):
            _messages.decode(data)
        read = (time.perf_counter() - began) / ROUNDS
        began = time.perf_counter()
        for _ in range(ROUNDS):
            _messages.encode(message)
        write = (time.perf_counter() - began) / ROUNDS
        print(
            engines,
            accounts,
            len(data),
            f'{read * 1e6:.0f}',
            f'{write * 1e6:.0f}',
        )


if __name__ == '__main__':
    fire.Fire(main)
