"""Packets of the users' platform, for the stand-ins of the soak."""

import struct
import zlib

HEAD = struct.Struct(">IIIIHHIHBI")
SYN, ACK, RST, FIN = 128, 64, 4, 1


def address(text):
    return int.from_bytes(bytes(int(part) for part in text.split(".")), "big")


def text(number):
    return ".".join(str(byte) for byte in number.to_bytes(4, "big"))


class Packet:
    """One packet. The checksum covers what the system must not change."""

    def __init__(self, tag, seq, ack, src, dport, sport, dst, flags, data=b""):
        self.tag, self.seq, self.ack, self.src = tag, seq, ack, src
        self.dport, self.sport, self.dst, self.flags, self.data = dport, sport, dst, flags, data

    def checksum(self):
        covered = (self.seq, self.ack, self.src, self.dport, self.sport, self.dst, self.flags, self.data)
        return zlib.crc32(repr(covered).encode()) | 1

    def encode(self):
        return (
            HEAD.pack(
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
    """Returns the packet and whether its checksum is right."""
    tag, seq, ack, src, dport, sport, dst, size, flags, checksum = HEAD.unpack(data[: HEAD.size])
    packet = Packet(tag, seq, ack, src, dport, sport, dst, flags, data[HEAD.size : HEAD.size + size])
    return packet, checksum == packet.checksum()
