"""Readers of HTTP messages for the simulated back ends and callers."""


async def read_message_head(reader):
    """Returns (start line, headers by lower-case name)."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    return first, headers


async def read_answer_head(reader):
    """Returns (status, headers) of an answer."""
    first, headers = await read_message_head(reader)
    return int(first.split(" ")[1]), headers


async def read_body(reader, headers):
    """Returns the body of a message with a Content-Length header; empty without one."""
    return await reader.readexactly(int(headers.get("content-length", 0)))
