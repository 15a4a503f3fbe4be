/** Highest TCP port number. */
export const MAX_PORT = 65_535;
