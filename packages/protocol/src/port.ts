/** The highest port of TCP. */
export const MAX_PORT = 65_535;
