/** Line differences between two texts. */

/** One line of a comparison: common, removed or added. */
export interface DifferenceLine {
  readonly mark: ' ' | '-' | '+';
  readonly text: string;
}

/** Compares two texts line by line by their longest common subsequence. */
export function compareTexts(before: string, after: string): DifferenceLine[] {
  const a = splitLines(before);
  const b = splitLines(after);
  const lengths = computeCommonLengths(a, b);
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

function splitLines(text: string): string[] {
  return text === '' ? [] : text.replace(/\n$/, '').split('\n');
}

/** Returns the length of the longest common subsequence for each pair of suffixes. */
function computeCommonLengths(
  a: readonly string[],
  b: readonly string[],
): number[][] {
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
