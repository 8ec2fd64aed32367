/** The one format that is loaded alone, so that a start reads no other. */
declare module 'logform/printf.js' {
  import type {Format, TransformableInfo} from 'logform';
  function printf(template: (info: TransformableInfo) => string): Format;
  export default printf;
}
