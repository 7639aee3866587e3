import { type ServerAddress } from "./model.js";

const octet = "(?:0|[1-9]\\d{0,2})";
const pattern = new RegExp(`^(${octet}(?:\\.${octet}){3}):([1-9]\\d{0,4})$`);
const maxOctet = 255;
const maxPort = 65_535;
/** Addresses from here on are multicast, reserved or broadcast addresses; those that begin with 0 name no host either. */
const firstMulticastOctet = 224;

/**
 * Parses an address to which connections are opened. It is the only reader of addresses that come from outside: what it
 * accepts, a client can be created for.
 *
 * @param text - an IPv4 address and a port from 1 to 65535, such as `10.0.0.4:8080`
 * @returns the address; `undefined` if the text is anything else, or if the address can't be a host's
 */
export function parseSocketAddress(text: unknown): ServerAddress | undefined {
    const [, host = "", port = ""] = typeof text === "string" ? pattern.exec(text) ?? [] : [];
    const octets = host.split(".").map(Number);
    const [firstOctet = 0] = octets;
    const isHost = octets.every(each => each <= maxOctet) && firstOctet > 0 && firstOctet < firstMulticastOctet;
    return isHost && Number(port) <= maxPort ? { host, port: Number(port) } : undefined;
}
