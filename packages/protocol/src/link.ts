/** A two-way pipe of text frames, in order, until either side closes it. */
export interface Link {
    /** Whether frames can still be sent. */
    readonly isOpen: boolean;
    /** Bytes written so far, with framing. */
    readonly bytesSent: number;
    /** Sends one frame; a frame on a closed link is dropped. */
    send(frame: string): void;
    /** Frames of the other side; ends when the link closes. */
    frames(): AsyncIterable<string>;
    close(): void;
}
