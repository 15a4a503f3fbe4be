import { MAX_PORT } from "@persimmonpitch/protocol/port.js";
import * as z from "zod";

/** Splits an address of the form HOST:PORT; does not validate it. */
export const parseAddress = (address: string): { readonly host: string; readonly port: number; } => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

/** Address of the form HOST:PORT with a host name or an IPv4 address. */
export const addressSchema = z.string().refine(address => {
    const { host, port } = parseAddress(address);
    return /^[\w.-]+$/.test(host) && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}, "The address is not of the form HOST:PORT.");
