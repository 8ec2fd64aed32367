/** Declares the one format of logform, which is imported alone to load fewer modules at start. */
declare module 'logform/printf.js' {
  import type {Format, TransformableInfo} from 'logform';
  function printf(template: (info: TransformableInfo) => string): Format;
  export default printf;
}
