"""Proxy callers' requests to upstreams: the router process of an instance."""
