/** Line differences between two texts. */

/** One line of a difference. */
export interface DifferenceLine {
  readonly mark: ' ' | '-' | '+';
  readonly text: string;
}

/** Compares two texts line by line by their longest common subsequence. */
export function compareTexts(before: string, after: string): DifferenceLine[] {
  const a = linesOf(before);
  const b = linesOf(after);
  const lengths = commonLengths(a, b);
  const result: DifferenceLine[] = [];
  let i = 0;
  let j = 0;
  while (i < a.length || j < b.length) {
    if (i < a.length && j < b.length && a[i] === b[j]) {
      result.push({mark: ' ', text: a[i]});
      i += 1;
      j += 1;
    } else if (
      j >= b.length ||
      (i < a.length && lengths[i + 1][j] >= lengths[i][j + 1])
    ) {
      result.push({mark: '-', text: a[i]});
      i += 1;
    } else {
      result.push({mark: '+', text: b[j]});
      j += 1;
    }
  }
  return result;
}

function linesOf(text: string): string[] {
  return text === '' ? [] : text.replace(/\n$/, '').split('\n');
}

/** Length of the longest common subsequence of each pair of tails. */
function commonLengths(a: readonly string[], b: readonly string[]): number[][] {
  const table = Array.from({length: a.length + 1}, () =>
    new Array<number>(b.length + 1).fill(0),
  );
  [...a.keys()].reverse().forEach(i =>
    [...b.keys()].reverse().forEach(j => {
      table[i][j] =
        a[i] === b[j]
          ? table[i + 1][j + 1] + 1
          : Math.max(table[i + 1][j], table[i][j + 1]);
    }),
  );
  return table;
}
