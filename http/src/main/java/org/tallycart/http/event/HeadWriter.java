package org.tallycart.http.event;

import java.nio.charset.StandardCharsets;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.impl.EnglishReasonPhraseCatalog;
import org.apache.hc.core5.http.message.BasicLineFormatter;
import org.apache.hc.core5.http.message.RequestLine;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Encoder of message heads and chunk framing.
 * <p>
 * Stateless and thread-safe.
 */
final class HeadWriter {

	static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

	static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

	static final byte[] CRLF = { '\r', '\n' };

	private static final int INITIAL_HEAD_CHARS = 512;

	private HeadWriter() {
	}

	static byte[] request(HttpRequest request) {
		CharArrayBuffer head = new CharArrayBuffer(INITIAL_HEAD_CHARS);
		RequestLine line = new RequestLine(request.getMethod(), request.getPath(), HttpVersion.HTTP_1_1);
		BasicLineFormatter.INSTANCE.formatRequestLine(head, line);
		return encode(head, request.getHeaders());
	}

	static byte[] response(HttpResponse response) {
		CharArrayBuffer head = new CharArrayBuffer(INITIAL_HEAD_CHARS);
		String reason = EnglishReasonPhraseCatalog.INSTANCE.getReason(response.getCode(), null);
		StatusLine line = new StatusLine(HttpVersion.HTTP_1_1, response.getCode(), (reason != null) ? reason : "");
		BasicLineFormatter.INSTANCE.formatStatusLine(head, line);
		return encode(head, response.getHeaders());
	}

	private static byte[] encode(CharArrayBuffer head, Header[] fields) {
		head.append("\r\n");
		for (Header field : fields) {
			BasicLineFormatter.INSTANCE.formatHeader(head, field);
			head.append("\r\n");
		}
		head.append("\r\n");
		return head.toString().getBytes(StandardCharsets.ISO_8859_1);
	}

	static byte[] chunkSize(int size) {
		return (Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
	}

}
