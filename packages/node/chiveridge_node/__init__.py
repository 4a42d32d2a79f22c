"""The node process: adapters around the kernel on one asyncio loop."""
