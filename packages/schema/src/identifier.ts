import * as z from "zod";

const IDENTIFIER_MAX_LENGTH = 64;

/** Names and ids: they become parts of row keys and URLs, so separators and spaces are excluded. */
export const identifierSchema = z.string().min(1).max(IDENTIFIER_MAX_LENGTH).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/);

/** A duration or point in time in whole or fractional milliseconds. */
export const millisSchema = z.number().nonnegative();

/** A SHA-256 digest in lower-case hexadecimal. */
export const digestSchema = z.string().regex(/^[0-9a-f]{64}$/);
