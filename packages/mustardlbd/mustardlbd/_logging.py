"""Logs numbered events as one JSON object a line on standard error."""

import logging
import sys

import structlog


def configure(vm_id: str) -> None:
    """Configure the logs of the process; each line contains the VM's id."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(vm_id=vm_id)
