"""The part of HTTP/1.1 that the stand-ins use, on asyncio streams."""

import asyncio
import socket
import struct


class Broken(Exception):
    """The peer closed early, reset, or sent what is no message."""


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError) as error:
        raise Broken("no whole head") from error
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a framed body; Broken if it is cut short."""
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
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as error:
        raise Broken("body cut short") from error


def write_head(writer, first, headers):
    text = first + "\r\n" + "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    writer.write((text + "\r\n").encode("latin-1"))


def write_answer(writer, status, body=b"", headers=None):
    write_head(writer, f"HTTP/1.1 {status} S",
               {**(headers or {}), "Content-Length": len(body)})
    writer.write(body)


def reset(writer):
    """Closes at once, so that the peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def serve(handler, sock):
    """Serves handler(line, headers, body, reader, writer) on a socket."""
    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await handler(line, headers, body, reader, writer)
                await writer.drain()
        except (Broken, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            try:
                writer.close()
            except RuntimeError:
                pass  # The loop has ended.
    return await asyncio.start_server(connection, sock=sock, backlog=256)


async def call(address, method, target, headers=None, body=b""):
    """One call on a connection of its own; returns status and body."""
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        write_head(writer, f"{method} {target} HTTP/1.1",
                   {"Host": "standin", "Content-Length": len(body),
                    **(headers or {})})
        writer.write(body)
        line, head = await read_head(reader)
        return int(line.split()[1]), await read_body(reader, head)
    finally:
        writer.close()
