import aiohttp
import pytest

from chiveridge_client import errors, platform_logs


async def test_appends_and_reads(log):
    async with aiohttp.ClientSession() as session:
        client = platform_logs.LogClient(log.url, session)
        assert await client.append("s", b'{"a":1}') == 0
        page = await client.read("s", 0)
        assert (page.first, page.next, page.records[0].offset) == (0, 1, 0)
        assert page.records[0].appended_at.year == 2026


async def test_raises_typed_errors(log):
    log.values, log.first, log.replies_to_lose = [{}] * 3, 2, 1
    async with aiohttp.ClientSession() as session:
        client = platform_logs.LogClient(log.url, session)
        with pytest.raises(errors.OffsetExpiredError) as caught:
            await client.read("s", 0)
        assert (caught.value.first_offset, caught.value.next_offset) == (2, 3)
        with pytest.raises(errors.LogReplyLostError):
            await client.append("s", b"{}")
        with pytest.raises(errors.LogError, match="404"):
            await client.read("s/t", 0)
