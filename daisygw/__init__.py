"""daisygw: a cluster scheduler for services, batch and gang jobs."""

__version__ = '0.1.0'
