/** Queue of received frames that the reader of the link has not consumed yet. It supports one reader. */
export class FrameQueue implements AsyncIterable<string> {
    private readonly bufferedFrames: string[] = [];
    private isEnded = false;
    private wakeReader: (() => void) | undefined;

    push(frame: string): void {
        this.bufferedFrames.push(frame);
        this.wakeReader?.();
    }

    /** Ends the iteration once the reader has consumed the buffered frames. */
    end(): void {
        this.isEnded = true;
        this.wakeReader?.();
    }

    async *[Symbol.asyncIterator](): AsyncIterator<string> {
        for (;;) {
            for (let frame = this.bufferedFrames.shift(); frame !== undefined; frame = this.bufferedFrames.shift()) {
                yield frame;
            }
            if (this.isEnded) {
                return;
            }
            await new Promise<void>(resolve => {
                this.wakeReader = resolve;
            });
            this.wakeReader = undefined;
        }
    }
}
