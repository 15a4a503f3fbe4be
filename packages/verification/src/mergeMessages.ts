/** Messages in flight with others added; equal messages count once and their order carries no meaning. */
export const mergeMessages = <M extends object>(messages: readonly M[], added: readonly M[]): readonly M[] => {
    const byText = new Map([...messages, ...added].map(message => [JSON.stringify(message), message]));
    return [...byText].sort(([a], [b]) => a < b ? -1 : 1).map(([, message]) => message);
};
