"""Stand-in for the platform's metadata store: keyed topics in one partition, each a log.

It keeps to PROTOCOL.md, "The platform's metadata store", and is never slow, down or forgetful.
"""

import asyncio
import base64
import json

from common import wire

READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")


class Store:
    def __init__(self, delay_s: float = 0.004):
        self._delay_s = delay_s
        self._records: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._server = wire.Server(self._handle)
        self.address = self._server.address

    async def start(self) -> None:
        await self._server.start()

    def stop(self) -> None:
        self._server.abort()

    def put(self, topic: str, key: str, value: object) -> None:
        """Append the newest record of a key; None deletes the key."""
        if not isinstance(value, bytes):
            value = b"" if value is None else json.dumps(value).encode()
        self._records.setdefault(topic, []).append((key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: wire.Request) -> wire.Reply:
        await asyncio.sleep(self._delay_s)
        call = request.path.rsplit("/", 1)[-1]
        topic = request.query.get("topic", "")
        if call == "log-append":
            return self._append(topic, request.body)
        if call == "log-newest":
            return self._newest(topic, request.query.get("dependsOn", ""))
        if call == "log-read":
            return await self._read(topic, request.query)
        return wire.Reply(400, {"error": f"no call {call}"})

    def _append(self, topic: str, body: bytes) -> wire.Reply:
        if topic in READ_ONLY_TOPICS:
            return wire.Reply(403, {})
        position = 0
        first = len(self._records.get(topic, ()))
        while position < len(body):
            size = int.from_bytes(body[position : position + 4], "big")
            record = body[position + 4 : position + 4 + size]
            position += 4 + size
            self.put(topic, record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
        return wire.Reply(200, {"offset": first, "end": len(self._records.get(topic, ()))})

    def _newest(self, topic: str, after: str) -> wire.Reply:
        records = self._records.setdefault(topic, [])
        newest = {key: (offset, value) for offset, (key, value) in enumerate(records)}
        keys = sorted(key for key, (_, value) in newest.items() if value and key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        return wire.Reply(200, {"items": items, "more": len(keys) > 500, "end": len(records)})

    async def _read(self, topic: str, query: dict[str, str]) -> wire.Reply:
        records = self._records.setdefault(topic, [])
        offset = int(query.get("from", 0))
        wait_s = int(query.get("waitMs", 0)) / 1000
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while offset >= len(records) and (left := ends_at - loop.time()) > 0:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        data = len(records).to_bytes(8, "big") + bytes(8)
        for key, value in records[offset:]:
            name = key.encode()
            record = bytes([len(name)]) + name + value
            data += len(record).to_bytes(4, "big") + record
        return wire.Reply(200, data)
