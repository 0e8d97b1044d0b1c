"""Heads of HTTP messages, as the soak's stand-ins and callers read them."""


async def read_message_head(reader):
    """Returns (first line, headers by lower-case name)."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """The body of a message that tells its length."""
    return await reader.readexactly(int(headers.get("content-length", 0)))
