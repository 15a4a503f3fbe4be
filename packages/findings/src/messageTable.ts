/** Messages of one unit, keyed by id; `{name}` marks a placeholder. */
export type MessageTable<Id extends string = string> = Readonly<Record<Id, string>>;

/** Values for the placeholders of a message. */
export type MessageData = Readonly<Record<string, string | number>>;

const PLACEHOLDER = /\{(\w+)\}/g;

/** Fills the placeholders of a message; a placeholder without a value is left as it stands. */
export const formatMessage = (template: string, data: MessageData = {}): string =>
    template.replace(PLACEHOLDER, (whole, name: string) => {
        const value = data[name];
        return value === undefined ? whole : String(value);
    });
