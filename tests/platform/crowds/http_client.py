"""Blocking HTTP client of the ordinary callers, which behave as the pages ask."""

import http.client
import itertools
import os
import socket
from dataclasses import dataclass

#: Time limit of one call in seconds; a call without an answer in this time counts as unanswered.
CALL_SECONDS = 20

_numbers = itertools.count()


@dataclass
class Answer:
    status: int
    headers: dict
    body: bytes


def new_request():
    """Returns an identifier that no other request has."""
    return f"{os.getpid():x}{next(_numbers):010x}"


def pieces_of(body, size):
    """Yields the body in pieces of `size` bytes."""
    for start in range(0, len(body), size):
        yield body[start:start + size]


def call(address, method, path, headers, body, chunk=None):
    """Returns the whole answer; None when it doesn't come. `chunk` sends chunks of that size."""
    connection = http.client.HTTPConnection(*address, timeout=CALL_SECONDS)
    try:
        if chunk is None:
            connection.request(method, path, body, headers)
        else:
            fields = {**headers, "Transfer-Encoding": "chunked"}
            connection.putrequest(method, path, skip_host=True, skip_accept_encoding=True)
            for name, value in fields.items():
                connection.putheader(name, value)
            connection.endheaders()
            encoded = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece)
                               for piece in pieces_of(body, chunk))
            connection.sock.sendall(encoded + b"0\r\n\r\n")
        response = connection.getresponse()
        text = response.read()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, fields, text)
    except (OSError, http.client.HTTPException, socket.timeout):
        return None
    finally:
        connection.close()
