"""The part of HTTP/1.1 that the stand-ins use, on asyncio streams."""

import asyncio
import socket
import struct


class Broken(Exception):
    """The peer closed the connection early, or sent an invalid message."""


async def read_head(reader):
    """Returns the first line and the headers (names in lower case)."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError) as error:
        raise Broken(f"no head: {error!r}") from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns a body that has a length or chunks; Broken if it is cut short."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readline()).strip() or b"x", 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    return body
                body += part
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError,
            ValueError) as error:
        raise Broken(f"body cut: {error!r}") from error


def message(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status, headers=None, body=b""):
    return message(f"HTTP/1.1 {status} S", headers or {}, body)


def reset(writer):
    """Closes the connection so that the peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def serve(handler, ip, port=0):
    """Serves `handler(connection, line, headers, body)` on a loopback port.

    `connection` is a dict that lives as long as the connection does, with the
    writer under "writer".
    """
    async def run(reader, writer):
        connection = {"writer": writer, "reader": reader}
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await handler(connection, line, headers, body)
                await writer.drain()
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(run, ip, port, limit=1 << 20)


def port_of(server):
    return server.sockets[0].getsockname()[1]
