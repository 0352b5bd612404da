import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON reader and writer for the stand-ins. */
final class Json {

	private final String text;

	private int at;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		return new Json(text).value();
	}

	private char peek() {
		while (Character.isWhitespace(this.text.charAt(this.at))) {
			this.at++;
		}
		return this.text.charAt(this.at);
	}

	private Object value() {
		switch (peek()) {
			case '{': {
				Map<String, Object> map = new LinkedHashMap<>();
				this.at++;
				while (peek() != '}') {
					if (peek() == ',') {
						this.at++;
						peek();
					}
					String key = string();
					peek();
					this.at++;
					map.put(key, value());
				}
				this.at++;
				return map;
			}
			case '[': {
				List<Object> list = new ArrayList<>();
				this.at++;
				while (peek() != ']') {
					if (peek() == ',') {
						this.at++;
					}
					list.add(value());
				}
				this.at++;
				return list;
			}
			case '"':
				return string();
			default:
				return literal();
		}
	}

	private Object literal() {
		int from = this.at;
		while (this.at < this.text.length() && ",]} \t\r\n".indexOf(this.text.charAt(this.at)) < 0) {
			this.at++;
		}
		String word = this.text.substring(from, this.at);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> (word.matches("-?\\d+")) ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
		};
	}

	private String string() {
		StringBuilder out = new StringBuilder();
		this.at++;
		while (this.text.charAt(this.at) != '"') {
			char c = this.text.charAt(this.at++);
			if (c == '\\') {
				char e = this.text.charAt(this.at++);
				switch (e) {
					case 'n' -> out.append('\n');
					case 't' -> out.append('\t');
					case 'r' -> out.append('\r');
					case 'b' -> out.append('\b');
					case 'f' -> out.append('\f');
					case 'u' -> {
						out.append((char) Integer.parseInt(this.text.substring(this.at, this.at + 4), 16));
						this.at += 4;
					}
					default -> out.append(e);
				}
			}
			else {
				out.append(c);
			}
		}
		this.at++;
		return out.toString();
	}

	static String write(Object value) {
		if (value instanceof Map<?, ?> map) {
			StringBuilder out = new StringBuilder("{");
			map.forEach((k, v) -> out.append((out.length() > 1) ? "," : "").append(quote((String) k)).append(':').append(write(v)));
			return out.append('}').toString();
		}
		if (value instanceof List<?> list) {
			StringBuilder out = new StringBuilder("[");
			list.forEach((v) -> out.append((out.length() > 1) ? "," : "").append(write(v)));
			return out.append(']').toString();
		}
		return (value instanceof String s) ? quote(s) : String.valueOf(value);
	}

	private static String quote(String s) {
		StringBuilder out = new StringBuilder("\"");
		for (char c : s.toCharArray()) {
			if (c == '"' || c == '\\') {
				out.append('\\').append(c);
			}
			else if (c < ' ') {
				out.append(String.format("\\u%04x", (int) c));
			}
			else {
				out.append(c);
			}
		}
		return out.append('"').toString();
	}

}
