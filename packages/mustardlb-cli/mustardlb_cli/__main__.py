"""Entry point of `python -m mustardlb_cli`."""

from mustardlb_cli import _main

if __name__ == '__main__':
    _main.main()
