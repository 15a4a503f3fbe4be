import * as z from "zod";

const count = z.number().int().positive();

/**
 * Limits on what callers can occupy. The defaults permit 64 connections from one address that send the largest body at
 * a time, and one body in chunks of one byte, within the memory of the smallest VM.
 */
export const callerLimitsSchema = z.object({
    maxConnections: count.default(512),
    maxConnectionsPerAddress: count.default(256),
    /** Requests of one connection whose responses have not been passed on, including the one in progress. */
    maxUnansweredPerConnection: count.default(16),
    maxUnanswered: count.default(512),
    /** Cost of the bodies of unfinished requests: their buffers, and `CHUNK_COST_BYTES` for each chunk. */
    maxHeldBytes: count.default(32_000_000),
    maxHeldBytesPerAddress: count.default(24_000_000),
    maxHeldBytesPerConnection: count.default(20_000_000),
    headersTimeoutMs: count.default(30_000),
    requestTimeoutMs: count.default(120_000),
});
export type CallerLimits = z.infer<typeof callerLimitsSchema>;

/** What a chunk costs apart from its bytes: decoding a chunk of one byte takes as long as copying several hundred. */
export const CHUNK_COST_BYTES = 64;
