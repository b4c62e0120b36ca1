"""Run a node: `python -m mustardlbd SETTINGS.toml`."""

import mustardlbd

mustardlbd.main()
