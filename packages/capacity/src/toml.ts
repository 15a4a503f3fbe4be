/** Fields in TOML: strings and numbers in JSON are also values in TOML. */
export const toToml = (fields: Readonly<Record<string, string | number>>): string =>
    Object.entries(fields).map(([name, value]) => `${name} = ${JSON.stringify(value)}\n`).join("");
