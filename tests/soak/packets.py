"""Encoding of the platform's packets for the simulated callers and upstreams."""

import struct
import zlib

HEADER = struct.Struct(">IIIIHHIHBI")
SYN, ACK, RST, FIN = 128, 64, 4, 1


def parse_address(dotted):
    return int.from_bytes(bytes(int(part) for part in dotted.split(".")), "big")


def format_address(number):
    return ".".join(str(byte) for byte in number.to_bytes(4, "big"))


class Packet:
    """One packet. The checksum covers the fields that the system must not modify."""

    def __init__(self, tag, seq, ack, src, dport, sport, dst, flags, data=b""):
        self.tag, self.seq, self.ack, self.src = tag, seq, ack, src
        self.dport, self.sport, self.dst, self.flags, self.data = dport, sport, dst, flags, data

    def checksum(self):
        covered_fields = (self.seq, self.ack, self.src, self.dport, self.sport, self.dst, self.flags, self.data)
        return zlib.crc32(repr(covered_fields).encode()) | 1

    def encode(self):
        return (
            HEADER.pack(
                self.tag,
                self.seq,
                self.ack,
                self.src,
                self.dport,
                self.sport,
                self.dst,
                len(self.data),
                self.flags,
                self.checksum(),
            )
            + self.data
        )


def decode(data):
    """Returns the packet and whether its checksum is valid."""
    tag, seq, ack, src, dport, sport, dst, size, flags, checksum = HEADER.unpack(data[: HEADER.size])
    packet = Packet(tag, seq, ack, src, dport, sport, dst, flags, data[HEADER.size : HEADER.size + size])
    return packet, checksum == packet.checksum()
