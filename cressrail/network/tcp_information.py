"""What the kernel records about a TCP connection: the options and requests of tcp(7)."""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios

# The start of struct tcp_info (linux/tcp.h), of which two members are read: the retransmission time-out in
# microseconds and the time since the last data was received in milliseconds.
TCP_INFO_START = struct.Struct("=8xI40xI")
SO_MEMINFO = 55  # sock_diag(7); the socket module does not name it
MEMORY_INFO_START = struct.Struct("=II")  # memory in use for received data, and its limit, in bytes
SURE_BUFFER_DIVISOR = 4  # the window for more stays open while at most this part of the memory is in use
MAX_SURE_UNREAD_BYTES = 8192  # the same where the system does not tell the memory
US_PER_MS = 1000
KERNEL_TICK_US = 10_000  # the longest tick in which the kernel counts


def unread_bytes(sock: socket.socket) -> int:
    """Returns how many received bytes of a connection wait in the kernel to be read: SIOCINQ of tcp(7).

    Returns:
        The number of bytes; 0 if the system does not tell.
    """
    return _queue_bytes(sock, termios.FIONREAD)


def undelivered_bytes(sock: socket.socket) -> int:
    """Returns how many written bytes of a connection the peer has not acknowledged: SIOCOUTQ of tcp(7).

    Returns:
        The number of bytes; 0 if the system does not tell.
    """
    return _queue_bytes(sock, termios.TIOCOUTQ)


def may_hide_close(sock: socket.socket) -> bool:
    """Returns whether so much input waits in the kernel that a close of the peer may wait behind it, unseen.

    A peer can't pass on its close while it may not send more, which the receive buffer decides.
    """
    try:
        information = sock.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMORY_INFO_START.size)
        used, limit = MEMORY_INFO_START.unpack(information)
    except (OSError, struct.error):
        used = limit = 0
    if not limit:
        return unread_bytes(sock) >= MAX_SURE_UNREAD_BYTES
    return bool(used * SURE_BUFFER_DIVISOR > limit)


def _queue_bytes(sock: socket.socket, request: int) -> int:
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), request, bytes(4)), sys.byteorder)
    except OSError:
        return 0


def time_since_last_input_us(sock: socket.socket) -> int | None:
    """Returns how long ago the kernel received the last data of a connection, read or unread, in us.

    If the peer has sent no data, the time counts from when the connection was established. The kernel counts
    in ticks, so the result is too large or too small by up to `KERNEL_TICK_US`.

    Returns:
        The time in microseconds; None if the system does not record it.
    """
    try:
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_START.size)
    except OSError:
        return None
    if len(information) < TCP_INFO_START.size:
        return None
    retransmission_timeout_us, last_input_ms = TCP_INFO_START.unpack(information)
    # A connection always has such a time-out: one of zero shows that the system fills nothing in.
    return last_input_ms * US_PER_MS if retransmission_timeout_us else None
