import type { MessageData, MessageTable } from "./messageTable.js";
import { formatMessage } from "./messageTable.js";

/** Where a finding was made: a file with line and column, a key path, or both. */
export interface Place {
    readonly file?: string;
    readonly line?: number;
    readonly column?: number;
    readonly path?: string;
}

/** One fault found while checking an input. */
export interface Finding {
    readonly messageId: string;
    readonly message: string;
    readonly place: Place;
}

/** Makes findings from one message table. */
export const findingOf = <Id extends string>(
    messages: MessageTable<Id>,
    messageId: Id,
    place: Place,
    data: MessageData = {},
): Finding => ({ messageId, message: formatMessage(messages[messageId], data), place });

const formatPlace = ({ file, line, column, path }: Place): string => {
    const position = [file, line, column].filter(part => part !== undefined).join(":");
    return [position, path ?? ""].filter(part => part !== "").join(" ");
};

const formatFinding = ({ messageId, message, place }: Finding): string =>
    [formatPlace(place), `${message} [${messageId}]`].filter(part => part !== "").join(": ");

/** One line a finding: place, if there is one, message and id. */
export const formatFindings = (findings: readonly Finding[]): string => findings.map(formatFinding).join("\n");
